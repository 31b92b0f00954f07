// What a gateway of ours is told beside the platform's configuration; LEMONLEAD_SETTINGS names the file.
rules?: {
	file:         string         // the set in force
	shadow?:      string         // a set that is tried beside it
	shadow_share: *0.01 | float & >=0.0 & <=0.5 // of one core, for the set that is tried
}
