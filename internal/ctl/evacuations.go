package ctl

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// evacuationReport is one evacuated availability zone.
type evacuationReport struct {
	Zone     fleet.Zone `json:"zone"`
	Revision uint64     `json:"revision,omitempty"` // of the order; 0 if the store no longer has it
	Order    string     `json:"order,omitempty"`    // content of the order, in which the operator's tool records who gave it and why
	InForce  int        `json:"in_force"`           // number of routers that send nothing to the zone
	Routers  int        `json:"routers"`            // number of routers that replied
}

// evacuationList shows the evacuated availability zones.
type evacuationList struct {
	commandBase
	routerOptions
}

func (c *evacuationList) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	store, err := s.store()
	if err != nil {
		return err
	}
	orders, err := store.Evacuations(ctx)
	if err != nil {
		return errors.WithMessage(err, "listing the evacuations; during an outage of the store, use router list to see what is in force")
	}
	routers, err := c.reports(ctx, s)
	if err != nil {
		return err
	}
	ordered := make(map[fleet.Zone]evacuationReport)
	for _, order := range orders {
		ordered[order.Zone] = evacuationReport{Zone: order.Zone, Revision: order.Revision, Order: order.Content}
	}
	reports := evacuationReports(ordered, routers)
	rows := &table{columns: []string{"ZONE", "REVISION", "IN FORCE", "ORDER"}}
	for _, r := range reports {
		rows.add(string(r.Zone), fmt.Sprint(r.Revision), fmt.Sprintf("%d of %d", r.InForce, r.Routers), orDash(singleLine(r.Order)))
	}
	if err := s.show(reports, rows); err != nil {
		return err
	}
	return unreachableError(routers)
}

// evacuationReports counts for each zone the routers that send nothing to it. It includes
// zones whose order was withdrawn but that some router still treats as evacuated.
func evacuationReports(reports map[fleet.Zone]evacuationReport, routers []routerReport) []evacuationReport {
	answered := lo.CountBy(routers, func(r routerReport) bool { return r.Error == "" })
	for _, router := range routers {
		for _, zone := range router.Evacuated {
			report := reports[zone]
			report.Zone = zone
			report.InForce++
			reports[zone] = report
		}
	}
	zones := slices.Sorted(slices.Values(lo.Keys(reports)))
	return lo.Map(zones, func(zone fleet.Zone, _ int) evacuationReport {
		report := reports[zone]
		report.Routers = answered
		return report
	})
}
