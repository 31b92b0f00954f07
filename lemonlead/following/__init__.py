"""A gateway that follows a ledger: instances that the ledger takes out of service get no new attempts. The
package is imported only when the settings have `follow`.

`responses.py` parses the members' responses, `merge.py` combines discovery's list of instances with the
ledger's state of the nodes, `ledger_polling.py` decides which member to call and when, and `driver.py` is the
thread that makes the calls. When the settings name a service, `move_routing.py` decides which side of the
service's move gets its requests, and `service.py` connects discovery, the ledger and the platform with the
balancer. Nothing here sends a request, and the gateway's only balancer is updated through the same call as by
discovery (`Discovery.put`)."""
