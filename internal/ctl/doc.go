// Package ctl implements the commands of bluebellctl. With them, operators read
// and edit the settings, wait for the rollout of a change, drain routers and
// backend servers, and analyse router logs. docs/bluebellctl.md is the manual
// page.
package ctl
