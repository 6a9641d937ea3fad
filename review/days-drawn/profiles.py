import random,sys
site,prof,seed=sys.argv[1],sys.argv[2],int(sys.argv[3]); r=random.Random(f'{site}{prof}{seed}')
llm,plain,hi=('corrib-llm','corrib-intake','triage-sev') if site=='corrib' else ('motore-ruoli','sportello-registro','sintesi-udienza')
L=92
def data():
    f=round(r.uniform(3,6),1); s=r.choice([llm,llm,plain])
    return r.choice([
     f'kind="garble", how="{r.choice(["extra late","extra","unframed","early","rot","extra unframed","early extra",""])}", share=0.6, x=0.03, for_s=5.0',
     f'kind="garble", service="{plain}", how="{r.choice(["extra late","extra","unframed","early"])}", share=0.6, x=0.03, for_s=5.0',
     f'kind="answer_lost", how="{r.choice(["reset",""])}", share=0.5, x=0.05, for_s=4.0',
     f'kind="srv_grey", service="{s}", share=0.15, x=0.4, for_s=5.0, how="{r.choice(["errors","shed","busy","hang","reset","mute","slow","hang one_zone","shed one_zone"])}"',
     f'kind="srv_cut", service="{llm}", share=0.2, for_s=5.0, how="{r.choice(["","fronts","some","some lossy","one_way","reset","fronts reset"])}"',
     f'kind="srv_crash", service="{s}", share=0.17, for_s=4.5, how="{r.choice(["","dark","gone","across","all","rack","domain"])}"',
     f'kind="replace_with_reuse", service="{s}", share=0.15, how="{r.choice(["","drain","dark"])}"',
     f'kind="release", share=0.3, x=1.0, gap_s=1.0, service="{s}"',
     f'kind="scale_in", share=0.15, x=2.0, service="{s}", how="{r.choice(["","spot","reclaim"])}"',
     f'kind="srv_slow", service="{s}", share=0.15, x=4.0, for_s=5.0',
     f'kind="roll_term", share=0.48, x=1.0, gap_s=1.1, how="{r.choice(["busy","","remove","busy"])}"',
     f'kind="node_freeze", share=0.1, for_s=4.0', f'kind="node_slow", share=0.1, x=5.0, for_s=5.0',
     f'kind="reset_conns", share=0.1, x=0.5', f'kind="hup", share=0.3, gap_s=1.0',
     f'kind="give_up", share=0.5, x=300.0, for_s=5.0', f'kind="retry_abuse", share=0.2, x=2.0, for_s=5.0',
     f'kind="burst", class="{hi}", x=2.4, for_s=4.5', f'kind="model_shift", count=1, for_s=5.0',
     f'kind="node_cut", share=0.1, for_s={f}, how="{r.choice(["","all","servers"])}"',
     f'kind="herd_kill", share=0.55, for_s=2.0, how="{r.choice(["","power"])}"',
     f'kind="node_kill", share=0.1, for_s=2.0, how="{r.choice(["","power"])}"',
     f'kind="scale_out", service="{s}", share=0.3, gap_s=2.0',
    ])
def core():
    f=round(r.uniform(1,5.5),1); e=r.choice(['','meet','race','drain','hard','meet drain','race hard','race drain','race hard drain'])
    return r.choice([
     f'kind="node_kill", on="core", count=1, for_s={min(f,3.5)}, how="{r.choice(["leader","giver","reader","turn","seed"])} {r.choice([e,"power "+e])}"',
     f'kind="node_freeze", on="core", count=1, for_s={min(f,4)}, how="{r.choice(["leader","giver","turn"])} {e}"',
     f'kind="core_cut", count=1, for_s={f}, how="{r.choice(["leader","turn","all","near","oldest","one_way","lure","both","relieve","split","behind","reset","refuse","leader lure","all leader","one_way leader","seeds","giver","giver lure","split lure","split race"])} {r.choice(["","race","meet","drain"])}"',
     f'kind="replace_core", x={r.choice([1.0,2.0])}, how="{r.choice(["","planned","oldest"])}"',
     f'kind="after_ack_wipe", for_s=3.0, how="{r.choice(["","oldest"])}"',
     f'kind="after_ack_kill", for_s=3.0, how="{r.choice(["","kill","timed","taken"])}"',
     f'kind="roll_term", on="core", share=1.0, x=1.0, gap_s={round(r.uniform(1,3),1)}, how="{r.choice(["","remove","busy"])} {e}"',
     f'kind="herd_kill", on="core", for_s={min(f,2)}, how="{r.choice(["","power","off"])}"',
     f'kind="reset_conns", on="core", share=1.0, x=0.5, for_s=3.0',
     f'kind="disk_stall", count=1, for_s=3.5, how="leader"' if site=='corrib' else f'kind="disk_full", count=1, for_s=4.5',
    ])
def cfg():
    return r.choice([f'kind="config_race", count=3, gap_s=1.2',f'kind="bad_config", count=3, gap_s=1.0',f'kind="config_storm", for_s=4.0, gap_s=0.33','kind="ack_lost", x=0.7, for_s=6.0',
      'kind="config_change", how="route"','kind="config_change", how="weights"','kind="config_change", how="timeout"','kind="config_change", how="idle"'])
plan=[];faults=[]
mix={'data':(0.05,0.9),'core':(0.45,0.55),'both':(0.25,0.75)}[prof]
PK=('release','scale_in','roll_term','config_race','config_change','config_storm','bad_config','big_config','model_shift','scale_out','hup')
for i in range(40):
    k=r.random(); at=round(r.uniform(0,L-10),2)
    if prof=='core': e=core() if k<.45 else (r.choice([f'kind="release", share=0.12, x=1.0, gap_s=1.0, service="{llm}"',f'kind="scale_in", share=0.14, x=2.0, service="{plain}"',f'kind="scale_in", share=0.14, x=2.0, service="{llm}", how="spot"',f'kind="node_cut", share=0.1, for_s=4.0',f'kind="replace_with_reuse", service="{plain}", share=0.15, how="drain"']) if k<.65 else cfg())
    else: e=core() if k<mix[0] else data() if k<mix[1] else cfg()
    kind=e.split('"')[1]
    (plan if kind in PK else faults).append((at,'  { at = %s, %s },'%(at,e.replace(' "','"').replace('  ',' '))))
plan.sort();faults.sort()
print('name = "review-%s-%d"\nlength_s = %d'%(prof,seed,L))
print('closing = { kind = "%s", down_s = 1.0 }'%r.choice(['power_off_all','wipe_after_ack','kill_all']))
print('plan = [\n'+'\n'.join(l for _,l in plan)+'\n]\nfaults = [\n'+'\n'.join(l for _,l in faults)+'\n]')
