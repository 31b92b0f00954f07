// Switches rules on: LEMONLEAD_SETTINGS=deploy/rules/gateway.cue. Nothing of the platform's deployment names this file.
rules: {
	file:         "rules.cue"
	shadow_share: 0.01 // of one core, for a set that is tried: shadow: "next.cue"
}
