// Command stage plays the scripted cases of the second review: it starts hosted routers
// as processes of their own, with stand-ins for the store, the endpoints and the callers,
// all on loopback addresses, and checks one rule by what callers and endpoints have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main
