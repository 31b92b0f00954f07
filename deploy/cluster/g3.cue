// Member g3 of cluster louis: lemonlead member deploy/cluster/g3.cue
include "louis.cue"
member: "g3"
data:   "var/g3"
listen: "127.0.0.1:7103"
