import random,sys
site=sys.argv[1]; seed=int(sys.argv[2]); r=random.Random(seed)
llm,plain,hi=('corrib-llm','corrib-intake','triage-sev') if site=='corrib' else ('motore-ruoli','sportello-registro','sintesi-udienza')
L=r.choice([40,60,80])
extra=['','meet','race','drain','hard','meet drain','race hard','race drain','meet hard drain']
def coreev():
    f=round(r.uniform(1,5.5),1); e=r.choice(extra)
    return r.choice([
     f'kind="node_kill", on="core", count=1, for_s={f}, how="{r.choice(["leader","giver","reader","turn","seed",""])} {r.choice([e,"power "+e])}"',
     f'kind="node_freeze", on="core", count=1, for_s={min(f,4)}, how="{r.choice(["leader","giver","turn"])} {e}"',
     f'kind="core_cut", count=1, for_s={f}, how="{r.choice(["leader","turn","all","near","oldest","one_way","lure","both","relieve","split","behind","reset","refuse","leader lure","all leader","one_way leader","seeds"])} {r.choice(["","race","meet"])}"',
     f'kind="replace_core", x={r.choice([1.0,2.0])}, how="{r.choice(["","planned","oldest"])}"',
     f'kind="after_ack_wipe", for_s=3.0, how="{r.choice(["","oldest"])}"',
     f'kind="after_ack_kill", for_s=3.0, how="{r.choice(["","kill","timed","taken"])}"',
     f'kind="roll_term", on="core", share=1.0, x=1.0, gap_s={round(r.uniform(1,3),1)}, how="{r.choice(["","remove","busy"])} {e}"',
     f'kind="disk_slow", count=1, x=25.0, for_s=5.5, how="leader"',
     f'kind="disk_stall", count=1, for_s=3.5, how="leader"' ,
     f'kind="disk_full", count=1, for_s=4.5' ,
     f'kind="herd_kill", on="core", for_s={min(f,2)}, how="{r.choice(["","power","off"])}"',
     f'kind="reset_conns", on="core", share=1.0, x=0.5, for_s=3.0',
     f'kind="ack_lost", x=0.7, for_s={f}',
     f'kind="clock_step", share=0.3, x=2400.0, for_s=6.0, how="{r.choice(["back","ahead","leader"])}"',
     f'kind="seed_turnover"',
    ])
def ev():
    f=round(r.uniform(2,5),1)
    return r.choice([
     f'kind="srv_crash", service="{r.choice([llm,plain])}", share=0.17, for_s=4.5, how="{r.choice(["","dark","gone"])}"',
     f'kind="release", share=0.3, x=1.0, gap_s=1.0, service="{r.choice([llm,plain])}"',
     f'kind="scale_in", share=0.14, x=2.0, service="{llm}", how="{r.choice(["","spot"])}"',
     f'kind="garble", how="{r.choice(["extra late","extra","unframed","early",""])}", share=0.6, x=0.03, for_s=5.0',
     f'kind="answer_lost", how="{r.choice(["reset",""])}", share=0.5, x=0.05, for_s=4.0',
     f'kind="herd_kill", share=0.55, for_s=2.0, how="{r.choice(["","power"])}"',
     f'kind="burst", class="{hi}", x=2.4, for_s=4.5',
     f'kind="model_shift", count=1, for_s=6.0',
     f'kind="roll_term", share=0.45, x=1.0, gap_s=1.3, how="{r.choice(["busy","","remove"])}"',
     f'kind="node_cut", share=0.2, for_s={f}, how="{r.choice(["","all","servers"])}"',
     f'kind="node_freeze", share=0.2, for_s=4.0',
     f'kind="srv_cut", service="{llm}", share=0.2, for_s=5.0, how="{r.choice(["","fronts","some","one_way","reset"])}"',
     f'kind="srv_slow", service="{r.choice([llm,plain])}", share=0.15, x=4.0, for_s=5.0',
     f'kind="srv_grey", service="{r.choice([llm,plain])}", share=0.15, x=0.4, for_s=5.0, how="{r.choice(["errors","shed","busy","hang","reset","mute"])}"',
     f'kind="replace_with_reuse", service="{r.choice([llm,plain])}", share=0.15, how="{r.choice(["","drain","dark"])}"',
     f'kind="scale_out", service="{r.choice([llm,plain])}", share=0.3, gap_s=2.0',
     f'kind="hup", share=0.3, gap_s=2.0', f'kind="reset_conns", share=0.1, x=0.5',
     f'kind="give_up", share=0.5, x=300.0, for_s=5.0', f'kind="retry_abuse", share=0.2, x=2.0, for_s=5.0',
     f'kind="node_slow", share=0.1, x=5.0, for_s=5.0',
    ])
def cfg():
    return r.choice([f'kind="config_race", count=3, gap_s=1.2',f'kind="bad_config", count=3, gap_s=1.0',f'kind="config_storm", for_s=4.0, gap_s=0.33',
      'kind="config_change", how="route"','kind="config_change", how="weights"','kind="config_change", how="timeout"','kind="config_change", how="idle"','kind="big_config", count=300' if site!='corrib' else 'kind="config_race", count=3, gap_s=1.0'])
PL=('release','scale_in','roll_term','config','bad_config','big_config','model_shift','burst','scale_out','hup','seed_turn','replace_core, ')
plan=[];faults=[]
n=int(sys.argv[3]) if len(sys.argv)>3 else 26
for i in range(n):
    k=r.random(); at=round(r.uniform(0,L-8),2)
    e=coreev() if k<.45 else ev() if k<.75 else cfg()
    kind=e.split('"')[1]
    line='  { at = %s, %s },'%(at,e.replace('  ',' '))
    (plan if kind in('release','scale_in','roll_term','config_race','config_change','config_storm','bad_config','big_config','model_shift','scale_out','hup') else faults).append((at,line))
plan.sort();faults.sort()
print('name = "review-%d"\nlength_s = %d'%(seed,L))
print('closing = { kind = "%s", down_s = 1.0 }'%r.choice(['power_off_all','wipe_after_ack','kill_all']))
print('plan = [\n'+'\n'.join(l for _,l in plan)+'\n]\nfaults = [\n'+'\n'.join(l for _,l in faults)+'\n]')
