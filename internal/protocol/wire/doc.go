// Package wire holds the messages between shedrock's own processes, their
// generated code, and the translation into the inputs of the coordination layer.
package wire
