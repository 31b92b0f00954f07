// What the operators plan for the next two years: lemonlead capacity fleet deploy/capacity/fleet-2028.cue
gateways:          2800
instances:         23000
services:          1100
requests_a_second: 230000.0
routes:            4900
tenants:           220000
added:             1600us
added_share:       0.99
regions:           6
zones:             16
changes_a_day:     4600.0
in_force:          20s
control: {core: 0.044, memory_mb: 32.0, bytes_a_second: 8000.0, machines: 6}
failures_a_day:    41.0
restarts_a_day:    2600.0
racks_a_week:      1.0
zones_a_month:     0.5
guesses: {
	services_a_gateway: 20
	rack_instances:     40
	changes_a_restart:  4.0
	cuts_a_year:        6.0
	cut:                5m
	clients_a_gateway:  100
	lost_machines:      1
}
