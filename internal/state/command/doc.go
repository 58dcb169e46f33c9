// Package command contains the protobuf messages of the control log, as written to disk and
// sent between replicas. Fields are only added, so that a newer binary can read a data
// folder written by an older one.
package command
