import * as fault from '../../fault/index.js';
import * as usersPlatform from '../../users-platform/index.js';
import * as util from '../../util/index.js';

/** Sets a fault in the handling of orders for a time. */
export async function setOrderFault(standIn: usersPlatform.UsersServerStandIn, orderFault: usersPlatform.OrderFault, durationMs: number): Promise<void> {
	standIn.orderFault = orderFault;
	await util.sleep(durationMs);
	standIn.orderFault = usersPlatform.OrderFault.None;
}

/** Sets a fault in the handling of requests for a time. */
export async function setServerFault(standIn: usersPlatform.UsersServerStandIn, serverFault: usersPlatform.ServerFault, durationMs: number): Promise<void> {
	standIn.fault = serverFault;
	await util.sleep(durationMs);
	standIn.fault = usersPlatform.ServerFault.None;
}

/** Sets a fault of a link for a time. */
export async function faultLink(link: fault.LinkProxy, linkFault: fault.LinkFault, durationMs: number, delayMs?: number): Promise<void> {
	link.setFault(linkFault, delayMs);
	await util.sleep(durationMs);
	link.setFault(fault.LinkFault.None);
}
