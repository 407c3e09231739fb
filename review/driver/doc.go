//go:build review

// Command driver plays the cases under review/. Each case starts routers and schedulers as
// processes, with stand-ins of the store, the runners and the clients on loopback addresses,
// and checks one rule by what the stand-ins saw.
//
//	driver CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment the case runs without its disruption.
//
// The build tag review keeps the command out of builds and tests of the whole module.
package main
