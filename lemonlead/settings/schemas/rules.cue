// A set of rules over requests.
#Rule: {
	name:      string & =~"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
	when:      string                   // an expression that gives bool
	lane?:     string                   // an expression: the request class that it is treated as
	key?:      string                   // an expression: the key that it is routed by
	customer?: string                   // an expression: the tenant that it counts for
	labels?: {[=~"^[a-z][a-z0-9_]{0,31}$"]: string & =~"^[A-Za-z0-9._-]{0,64}$"}
}
version: string & =~"^[A-Za-z0-9._-]{1,64}$"
// Steps that one rule and the whole set may cost a request at worst.
ceilings: {
	rule: *2000 | int & >=1 & <=1000000
	set:  *20000 | int & >=1 & <=10000000
}
// The longest and the most of what a request may bring; what is past it cannot be read by a rule.
bounds: {
	key:            *256 | int & >=1 & <=65536
	customer:       *128 | int & >=1 & <=1024
	attributes:     *32 | int & >=0 & <=256
	attribute_name: *64 | int & >=1 & <=1024
	attribute:      *256 | int & >=1 & <=65536
}
rules: [...#Rule]
