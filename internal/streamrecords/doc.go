// Package streamrecords stores where streams began, in the memory of a few
// processes. A Server holds records; a Client stores and looks them up at the holders that
// internal/policy/streamorigin chooses.
package streamrecords
