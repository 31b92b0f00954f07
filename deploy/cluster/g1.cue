// Member g1 of cluster louis: lemonlead member deploy/cluster/g1.cue
include "louis.cue"
member: "g1"
data:   "var/g1"
listen: "127.0.0.1:7101"
