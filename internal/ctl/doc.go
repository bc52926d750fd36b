// Package ctl holds the commands of bluebellctl, by which operators read and
// edit the settings, follow a change through the fleet, and drain backend
// servers. docs/bluebellctl.md is its manual page.
package ctl
