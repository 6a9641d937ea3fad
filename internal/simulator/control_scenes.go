package simulator

func init() { Scenes = append(Scenes, controlScenes...) }

// control sets a world of announced servers up on a deployment that is drawn from its seed. It has few
// servers and callers: these scenes are about the core.
func controlOptions(draw func(seed uint64) *Deployment) func(o *Options) {
	return func(o *Options) {
		hosted(func(h *Hosted) { h.Batch, h.Plain = 3, 2 })(o)
		o.Routers, o.Core = 3, draw(o.Seed)
	}
}

// controlRate is how many requests a second callers send in these scenes.
const controlRequestRate = 5

// controlScenes lose, part and change core nodes on drawn deployments.
var controlScenes = []Scene{
	{Name: "control-losses", About: "core nodes lose power, lose their disks and are replaced, as closely as a drawn deployment tolerates", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(drawDeployment), Script: func(w *World) { w.runLosses(powerLoss, diskLoss, diskLossAfterAck, replacement) }},
	{Name: "control-five", About: "the same with five voters of which any two may be lost", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(fiveVoters), Script: func(w *World) { w.runLosses(powerLoss, diskLoss, diskLossAfterAck, replacement) }},
	{Name: "control-replace", About: "five voters: one is replaced for good, its owner is lost soon after, and another as soon as the new node counts as there", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(fiveVoters), Script: func(w *World) {
			w.watchJointState(12)
			w.changePlanPeriodically(14, 76, 2e9)
			w.replaceSequentially(15, 75)
		}},
	{Name: "control-planned", About: "five voters: nodes are replaced as planned, the new one first, and lost before and after", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(fiveVoters), Script: func(w *World) { w.runLosses(plannedReplacement, plannedReplacement, powerLoss, diskLoss) }},
	{Name: "control-parted", About: "the owner or a seed is cut off for 14 to 25 s, one way or both, while changes are taken elsewhere and operators call it", Duration: 130e9, RequestRate: controlRequestRate,
		Configure: controlOptions(drawDeployment), Script: func(w *World) { w.runPartitions(95) }},
	{Name: "control-race", About: "two operators race on one version, answers get lost, and repeats go to other nodes after some changes", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(drawDeployment), Script: func(w *World) { w.runRaces(80, 40) }},
	{Name: "control-storm", About: "the same with hundreds of changes in between", Duration: 130e9, RequestRate: controlRequestRate,
		Configure: controlOptions(drawDeployment), Script: func(w *World) { w.runRaces(80, 300) }},
	{Name: "control-away", About: "a voter is away for hundreds of changes, returns with its old disk, and others are lost as soon as it counts as there", Duration: 80e9, RequestRate: controlRequestRate,
		Configure: controlOptions(drawDeployment), Script: func(w *World) { w.runVoterAbsences(45, 300) }},
	{Name: "control-power", About: "five voters, two of which lose power at a time, again and again", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(fiveVoters), Script: func(w *World) { w.runLosses(powerLoss) }},
}

// playLosses loses core nodes while an operator changes the plan.
func (w *World) runLosses(kinds ...lossKind) {
	w.tracef("deployment: %s", w.core)
	w.watchJointState(12)
	w.changePlanPeriodically(14, 76, 2e9)
	w.injectLosses(15, 75, kinds...)
}
