import * as timers from 'node:timers/promises';
import * as config from '@bluebellmast/config';
import * as platform from '@bluebellmast/platform';
import * as router from '@bluebellmast/router';
import * as standIns from '@bluebellmast/stand-ins';
const host='127.0.0.1'; const N=7; const vms=Array.from({length:N},(_,i)=>`vm-${i}`);
const kv=standIns.kv.createKv({host,port:0}); const {port}=await kv.start(); const kvUrl=`http://${host}:${port}`;
const op=platform.kv.createEtcdClient({baseUrls:[kvUrl]});
const nodes=[];
for(const vm of vms){const clock=new router.clock.SystemClock();const c=platform.kv.createEtcdClient({baseUrls:[kvUrl]});
 const network=new router.peers.TcpPeerNetwork({vm,incarnation:vm,dataCentre:'d',host,port:0,clock,addresses:()=>nodes.map(n=>({host,port:n.network.port}))});
 const controller=new router.controllers.ManifestController({vm,kv:c,peers:network,clock,liveMembers:()=>[vm,...network.connected()],listedVms:()=>vms});
 const node={vm,network,controller,c,at:new Map()}; controller.onChange(m=>node.at.set(m.generation,performance.now())); nodes.push(node); await network.start(); await controller.start();}
const content={models:[{id:'chat',service:'p',versions:['1'],defaultKind:'q',supportsForcedPrefix:false}],adapters:[],accounts:[],kinds:[],services:[],endpoints:[]};
let head; const times=[]; const faults=process.argv[2]==='faults';
await timers.setTimeout(2500);
let unconfirmed=0;
for(let i=0;i<200;i++){
 if(faults&&i%10===5){ kv.server.faults.apply?.({fault:'silent'}); }
 if(faults&&i%25===7){ for(const n of nodes.slice(i%7,i%7+1)) {/* none */} }
 const p=(i%2===0?config.manifest.proposeApply(head,{...content,models:[{...content.models[0],versions:[`v${i}`]}]},{changeId:`c${i}`,madeFrom:head?.generation??0}):config.manifest.proposeRecall(head,[`model:chat@v${i}`],`c${i}`)).unsafeCoerce();
 for(const s of p.newSections) await op.compareAndSwap(config.manifest.sectionKey(s.hash),0,s.bytes);
 const cur=(await op.get(config.manifest.headKey)).unsafeCoerce();
 const t0=performance.now();
 const r=(await op.compareAndSwap(config.manifest.headKey,cur?.revision??0,config.manifest.encodeHead(p.head))).unsafeCoerce(); if(!r.swapped) throw new Error('x');
 head=p.head; const g=head.generation;
 while(!nodes.every(n=>n.at.has(g))){await timers.setTimeout(2); if(performance.now()-t0>10000) throw new Error('lost '+g);}
 times.push(Math.max(...nodes.map(n=>n.at.get(g)))-t0);
 unconfirmed+=nodes.filter(n=>!n.controller.confirmed(Date.now())).length;
 await timers.setTimeout(20);
}
times.sort((a,b)=>a-b); console.log({n:times.length,median:times[100],p99:times[198],worst:times[199],unconfirmed,counts:kv.counts()});
const before=kv.counts(); await timers.setTimeout(10000); const after=kv.counts(); console.log('rest, 10 s', before, after);
for(const n of nodes){await n.controller.stop();await n.network.stop();await n.c.close();} await op.close(); await kv.stop();
