package acceptor

import (
	"lycheelift.example/entryd/follower"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/settings/configuration"
)

// defaultPolicy applies to services that the configuration does not list. It holds the defaults of the schema.
var defaultPolicy = func() configuration.Service {
	var out configuration.Service
	if err := out.UnmarshalJSON([]byte("{}")); err != nil {
		panic(err)
	}
	return out
}()

// authorize returns the policy of the service. It refuses the request if the service lists its tenants and the request's
// tenant is not one of them.
func authorize(r *request, view *follower.View) (configuration.Service, *refusal) {
	policy, ok := view.Document.Services[r.service]
	if !ok {
		return defaultPolicy, nil
	}
	if _, ok := policy.Tenants[r.tenant]; len(policy.Tenants) > 0 && !ok {
		return policy, notRun(callerv1.Reason_REASON_FORBIDDEN, "the tenant may not use this service")
	}
	return policy, nil
}
