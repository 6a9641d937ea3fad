package anvil

import (
	"tidedeck/gauge"
)

func (c *Core) watchWindows() {}

func (c *Core) closed(gauge.Zone, gauge.Server) bool { return false }

func (c *Core) putWindows(a Admin) {
	c.answer(Answer{Token: a.Token, Kind: gauge.Unknown})
}
