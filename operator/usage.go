package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/usage"
)

func (o *Operator) usage(c echo.Context, principal settings.Principal) error {
	replies := queryAllHosts(c.Request().Context(), o, methodUsage, func(ident.Host) usageQuery { return usageQuery{} }, o.localUsage)
	aggregator := usage.NewAggregator(usage.Options{})
	for _, a := range replies.replies {
		for _, report := range a.reply.Reports {
			aggregator.Merge(report)
			o.options.Usage.Merge(report)
		}
	}
	summary := withoutAggregator(aggregator.Summarize(o.options.Now()))
	summary.Rows = visibleRows(principal, summary.Rows)
	return c.JSON(http.StatusOK, api.Usage{Summary: summary, Unreachable: replies.unreachable})
}

// withoutAggregator removes the source without a host name, which is the
// aggregator that summed the reports.
func withoutAggregator(summary usage.Summary) usage.Summary {
	var sources []usage.Source
	for _, source := range summary.Sources {
		if source.Host != "" {
			sources = append(sources, source)
		}
	}
	summary.Sources = sources
	return summary
}

func (o *Operator) localUsage(query usageQuery) usageReply {
	reply := usageReply{Reports: []usage.Report{o.options.Usage.Report(o.options.Now())}}
	if !query.OwnOnly {
		reply.Reports = append(reply.Reports, o.options.Usage.RemoteReports()...)
	}
	return reply
}
