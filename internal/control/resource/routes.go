package resource

import (
	"strings"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	previoushostsv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/retry/host/previous_hosts/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ringtrack.example/ringtrack/internal/control/assign"
)

// NotStarted is the header of an answer that states that the server did not start to execute the attempt.
const NotStarted = "not-started"

const (
	classHeader = "request-class"
	// unclassifiedRoute is the name of the route for requests without a known class.
	unclassifiedRoute = "rest"
	// lastPathSegment captures the last segment of a path, without the query.
	lastPathSegment = `^.*?([^/?]*)(\?.*)?$`
	// retryNeverRan lists the retry conditions under which an attempt cannot have run: the connection failed,
	// the stream was refused, or the answer has the header NotStarted.
	retryNeverRan = "connect-failure,refused-stream,retriable-headers"
	// retryAnyFailure lists the retry conditions for all failures.
	retryAnyFailure = "5xx,reset," + retryNeverRan
	// hostSelectionAttempts bounds the attempts to select a server that the request has not been sent to.
	hostSelectionAttempts = 3
)

// RouteConfig renders the route configuration, with one route for each class.
func (s *Service) RouteConfig() (*Resource, error) {
	host := &routev3.VirtualHost{Name: s.Name, Domains: []string{"*"}}
	for i := range s.Routes {
		host.Routes = append(host.Routes, s.route(&s.Routes[i]))
	}
	return New(Route, s.Name, &routev3.RouteConfiguration{Name: s.Name, VirtualHosts: []*routev3.VirtualHost{host}})
}

func (s *Service) route(r *assign.Route) *routev3.Route {
	action := &routev3.RouteAction{
		ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: s.ClusterName(r.Class)},
		Timeout:          duration(r.TimeoutMs),
		// gRPC clients use this in place of Timeout.
		MaxStreamDuration: &routev3.RouteAction_MaxStreamDuration{MaxStreamDuration: duration(r.TimeoutMs)},
		RetryPolicy:       retryPolicy(r, s.Settings.Limits.MaxRetryAfterMs),
		HashPolicy:        s.hashPolicy(),
	}
	match := &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: "/"}}
	name := unclassifiedRoute
	if r.Class != "" {
		name = r.Class
		match.Headers = []*routev3.HeaderMatcher{exactHeader(classHeader, r.Class)}
	}
	return &routev3.Route{Name: name, Match: match, Action: &routev3.Route_Route{Route: action}}
}

// hashPolicy returns the policies that take the affinity key from the header or, without it, from the path.
func (s *Service) hashPolicy() []*routev3.RouteAction_HashPolicy {
	var policies []*routev3.RouteAction_HashPolicy
	if s.AffinityHeader != "" {
		policies = append(policies, &routev3.RouteAction_HashPolicy{
			Terminal: true,
			PolicySpecifier: &routev3.RouteAction_HashPolicy_Header_{Header: &routev3.RouteAction_HashPolicy_Header{
				HeaderName: strings.ToLower(s.AffinityHeader),
			}},
		})
	}
	return append(policies, &routev3.RouteAction_HashPolicy{
		PolicySpecifier: &routev3.RouteAction_HashPolicy_Header_{Header: &routev3.RouteAction_HashPolicy_Header{
			HeaderName: ":path",
			RegexRewrite: &matcherv3.RegexMatchAndSubstitute{
				Pattern:      &matcherv3.RegexMatcher{Regex: lastPathSegment},
				Substitution: `\1`,
			},
		}},
	})
}

// retryPolicy returns a policy that permits only sequential retries, without hedging or per-attempt timeouts.
func retryPolicy(r *assign.Route, maxRetryAfterMs float64) *routev3.RetryPolicy {
	p := &routev3.RetryPolicy{
		NumRetries:       wrapperspb.UInt32(uint32(r.MaxRetries)),
		RetryOn:          retryNeverRan,
		RetriableHeaders: []*routev3.HeaderMatcher{exactHeader(NotStarted, "1")},
		RetryBackOff: &routev3.RetryPolicy_RetryBackOff{
			BaseInterval: duration(r.BackoffBaseMs),
			MaxInterval:  duration(r.BackoffMaxMs),
		},
		RateLimitedRetryBackOff: &routev3.RetryPolicy_RateLimitedRetryBackOff{
			MaxInterval:  duration(max(maxRetryAfterMs, 1)),
			ResetHeaders: []*routev3.RetryPolicy_ResetHeader{{Name: "Retry-After", Format: routev3.RetryPolicy_SECONDS}},
		},
		HostSelectionRetryMaxAttempts: hostSelectionAttempts,
		RetryHostPredicate: []*routev3.RetryPolicy_RetryHostPredicate{{
			Name: "envoy.retry_host_predicates.previous_hosts",
			ConfigType: &routev3.RetryPolicy_RetryHostPredicate_TypedConfig{
				TypedConfig: mustAny(&previoushostsv3.PreviousHostsPredicate{}),
			},
		}},
	}
	if r.RetryOn == assign.AnyFailure {
		p.RetryOn = retryAnyFailure
	}
	return p
}

// exactHeader returns a matcher for requests or answers whose header has exactly this value.
func exactHeader(name, value string) *routev3.HeaderMatcher {
	return &routev3.HeaderMatcher{
		Name: name,
		HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
			MatchPattern: &matcherv3.StringMatcher_Exact{Exact: value},
		}},
	}
}
