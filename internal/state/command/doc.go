// Package command holds the messages of the control log as they are written to
// disk and sent between replicas. Fields are only ever added, so that a newer
// binary reads an older folder.
package command
