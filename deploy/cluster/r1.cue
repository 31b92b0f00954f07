// Relay r1 of cluster louis: lemonlead relay deploy/cluster/r1.cue
relay:   "r1"
region:  "north"
listen:  "127.0.0.1:7301"
members: {g1: "127.0.0.1:7101", g2: "127.0.0.1:7102", g3: "127.0.0.1:7103"}
// Of the 8 KB a second that a gateway may use for all that is no request; the rest is for its acknowledgements.
budget: {rate: 7000, burst: 16000}
