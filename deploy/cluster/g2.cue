// Member g2 of cluster louis: lemonlead member deploy/cluster/g2.cue
include "louis.cue"
member: "g2"
data:   "var/g2"
listen: "127.0.0.1:7102"
