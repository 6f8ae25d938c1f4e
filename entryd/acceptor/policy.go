package acceptor

import (
	"lycheelift.example/entryd/follower"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/settings/configuration"
)

// unlisted is the policy of services that the configuration does not list: the defaults of the schema.
var unlisted = func() configuration.Service {
	var out configuration.Service
	if err := out.UnmarshalJSON([]byte("{}")); err != nil {
		panic(err)
	}
	return out
}()

// permit returns the service's policy, unless the service lists its tenants and the caller's is not one of them.
func permit(r *request, view *follower.View) (configuration.Service, *refusal) {
	policy, ok := view.Document.Services[r.service]
	if !ok {
		return unlisted, nil
	}
	if _, ok := policy.Tenants[r.tenant]; len(policy.Tenants) > 0 && !ok {
		return policy, notRun(callerv1.Reason_REASON_FORBIDDEN, "the tenant may not use this service")
	}
	return policy, nil
}
