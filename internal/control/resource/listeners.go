package resource

import (
	"fmt"

	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
)

// Listeners renders the API listener for gRPC clients and, if Service.Listen is set, a listener with a
// socket.
func (s *Service) Listeners() ([]*Resource, error) {
	manager := mustAny(&hcmv3.HttpConnectionManager{
		StatPrefix: s.Name,
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{
			ConfigSource:    adsSource(),
			RouteConfigName: s.Name,
		}},
		HttpFilters: []*hcmv3.HttpFilter{{
			Name:       "envoy.filters.http.router",
			ConfigType: &hcmv3.HttpFilter_TypedConfig{TypedConfig: mustAny(&routerv3.Router{})},
		}},
	})
	listeners := []*listenerv3.Listener{{
		Name:        s.Name,
		ApiListener: &listenerv3.ApiListener{ApiListener: manager},
	}}
	if s.Listen != "" {
		addr, err := parseAddress(s.Listen)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, &listenerv3.Listener{
			Name:    s.Name + "/socket",
			Address: addr,
			FilterChains: []*listenerv3.FilterChain{{Filters: []*listenerv3.Filter{{
				Name:       "envoy.filters.network.http_connection_manager",
				ConfigType: &listenerv3.Filter_TypedConfig{TypedConfig: manager},
			}}}},
		})
	}
	resources := make([]*Resource, 0, len(listeners))
	for _, l := range listeners {
		r, err := New(Listener, l.Name, l)
		if err != nil {
			return nil, fmt.Errorf("listener %s: %w", l.Name, err)
		}
		resources = append(resources, r)
	}
	return resources, nil
}
