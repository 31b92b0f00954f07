// A relay: it follows a ledger's entries and tells them to the gateways that subscribe to their scopes.
// Addresses are ip:port, of loopback or the site's own network.
#Name: string & =~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"
relay:   #Name
region:  #Name
listen:  string
members: {[=~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"]: string} // of the cluster: name to address
// Of the bytes that one gateway is told: so many a second, and so many at once after a rest.
budget: {
	rate:  int & >=100 & <=100000000
	burst: int & >=10240 & <=100000000
}
lease: *10s | duration & >=5s & <=10m // a gateway not heard of for so long is no longer counted
grace: *1s | duration & >=0s & <=1m   // and this much more, for what it did last
bounds: {
	subscribers: *1000 | int & >=1 & <=10000        // gateways at once; past it one is sent elsewhere
	scopes:      *2000 | int & >=1 & <=2000         // of one gateway
	waiting:     *32768 | int & >=4096 & <=16777216 // bytes under way to one that does not read
	kept:        *100000 | int & >=0 & <=10000000   // changes kept for gateways that come back
}
