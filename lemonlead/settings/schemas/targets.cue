// What operators want of a fleet to come, for lemonlead capacity fleet.
#Count: int & >=1 & <=100000000
#Rate:  float & >=0.0 & <=100000000.0
gateways:             #Count
instances:            #Count
services:             #Count
requests_a_second:    float & >0.0 & <=1000000000.0
routes:               #Count
tenants:              #Count
added:                duration & >0s & <=1h        // to a request
added_share:          float & >0.0 & <1.0          // of the requests that keep to it
regions:              #Count
zones:                #Count
changes_a_day:        #Rate                        // of configuration
in_force:             duration & >0s & <=1h        // within which each is, everywhere
control: {
	core:           float & >0.0 & <=1.0           // share of a core that a gateway spends on control
	memory_mb:      float & >0.0 & <=1000000.0     // of a gateway, for control; 10^6 bytes
	bytes_a_second: float & >0.0 & <=1000000000.0  // of a gateway, for control
	machines:       #Count                         // set aside for it
}
failures_a_day:       #Rate                        // of machines
restarts_a_day:       #Rate                        // of machines, or their replacement
racks_a_week:         #Rate                        // lost
zones_a_month:        #Rate                        // lost
// What the operators do not say: guesses, and told as such wherever they count.
guesses: {
	services_a_gateway:  #Count                    // to which a gateway routes
	rack_instances:      #Count
	changes_a_restart:   #Rate                     // of one instance's entry: draining, gone, back, warm
	cuts_a_year:         #Rate                     // between regions: several
	cut:                 duration & >0s & <=1h     // how long: minutes
	clients_a_gateway:   #Count                    // connections
	lost_machines:       int & >=0 & <=1000000     // of control, at a time
}
