// Package config holds the operators' configuration: the two lists and the
// granted keys, as they are kept in the platform's key-value service and in
// force in each entry.
//
// Editor changes the configuration, Replica keeps a Snapshot of the highest
// revision seen. A Replica never goes to a lower revision.
package config
