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
	Revision uint64     `json:"revision,omitempty"` // of the order; 0: the store has none any more
	Order    string     `json:"order,omitempty"`    // its content, where the operator's tool says who and why
	InForce  int        `json:"in_force"`           // routers that send nothing to the zone
	Routers  int        `json:"routers"`            // that answered
}

// evacuationList shows the evacuated availability zones.
type evacuationList struct {
	base
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
		return errors.WithMessage(err, "listing the evacuations; router list tells what is in force in an outage of the store")
	}
	routers, err := c.reports(ctx, s)
	if err != nil {
		return err
	}
	found := make(map[fleet.Zone]evacuationReport)
	for _, order := range orders {
		found[order.Zone] = evacuationReport{Zone: order.Zone, Revision: order.Revision, Order: order.Content}
	}
	reports := inForce(found, routers)
	people := &table{columns: []string{"ZONE", "REVISION", "IN FORCE", "ORDER"}}
	for _, r := range reports {
		people.add(string(r.Zone), fmt.Sprint(r.Revision), fmt.Sprintf("%d of %d", r.InForce, r.Routers), orDash(oneLine(r.Order)))
	}
	if err := s.show(reports, people); err != nil {
		return err
	}
	return silentRouters(routers)
}

// inForce counts for each zone the routers that send nothing there. Zones without an
// order that some router still keeps to are listed too.
func inForce(found map[fleet.Zone]evacuationReport, routers []routerReport) []evacuationReport {
	answered := lo.CountBy(routers, func(r routerReport) bool { return r.Error == "" })
	for _, router := range routers {
		for _, zone := range router.Evacuated {
			report := found[zone]
			report.Zone = zone
			report.InForce++
			found[zone] = report
		}
	}
	zones := slices.Sorted(slices.Values(lo.Keys(found)))
	return lo.Map(zones, func(zone fleet.Zone, _ int) evacuationReport {
		report := found[zone]
		report.Routers = answered
		return report
	})
}
