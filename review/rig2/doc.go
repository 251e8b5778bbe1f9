// Command rig2 plays the cases 6 to 10 of the review: it starts gateways and keepers as separate
// processes on loopback addresses, with stand-ins for the platform's store, the runners and the
// clients, and checks one rule of the users' pages.
package main
