import * as net from 'node:net';
import * as sleepModule from '../util/sleep.js';
import * as resetSocket from './reset-socket.js';

/** Faults of a link. */
export enum LinkFault {
	None = 'none',
	/** Delays all data. */
	Delay = 'delay',
	/** Holds data from the caller until the fault ends. */
	HoldRequests = 'hold_requests',
	/** Holds data to the caller until the fault ends. */
	HoldResponses = 'hold_responses',
	/** Resets all connections, and new ones as they open. */
	Reset = 'reset',
	/** Resets all connections and refuses new ones. */
	Refuse = 'refuse',
	/** Refuses new connections; those that are open go on. */
	RefuseNew = 'refuse_new',
	/** Discards all data of the connections that are open when the fault begins, for good; new ones work. */
	Silence = 'silence',
}

/** Where a proxy forwards to; read anew for each connection. */
export type LinkTarget = {
	readonly host: string;
	readonly port: number;
};

enum Direction {
	Request = 'request',
	Response = 'response',
}

type Link = {
	readonly caller: net.Socket;
	readonly target: net.Socket;
	isSilent: boolean;
};

const holdPollMs = 10;
const heldDirections: Readonly<Partial<Record<LinkFault, Direction>>> = {
	[LinkFault.HoldRequests]: Direction.Request,
	[LinkFault.HoldResponses]: Direction.Response,
};

/** TCP proxy on a loopback address, with faults of the link between a caller and a target. */
export class LinkProxy {
	readonly #links = new Set<Link>();
	readonly #server: net.Server;
	#fault = LinkFault.None;
	#delayMs = 0;
	#isStopped = false;
	#port = 0;

	constructor(private readonly target: LinkTarget) {
		this.#server = net.createServer({noDelay: true, allowHalfOpen: true}, socket => {
			this.#open(socket);
		});
	}

	/** Starts the proxy on any free port and returns the port. */
	async start(): Promise<number> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, '127.0.0.1', () => {
				this.#port = (this.#server.address() as net.AddressInfo).port;
				resolve(this.#port);
			});
		});
	}

	/** Begins a fault; `LinkFault.None` ends it. */
	setFault(fault: LinkFault, delayMs = 0): void {
		this.#fault = fault;
		this.#delayMs = delayMs;
		this.#setListening(fault !== LinkFault.Refuse && fault !== LinkFault.RefuseNew);
		for (const link of this.#links) {
			if (fault === LinkFault.Reset || fault === LinkFault.Refuse) {
				reset(link);
			}

			link.isSilent ||= fault === LinkFault.Silence;
		}
	}

	/** Stops to listen, so that the port is free; connections that are open go on. */
	closeListener(): void {
		this.#server.close();
	}

	/** Returns whether one of the connections to the target has a port at the end of the proxy. */
	usesPort(port: number): boolean {
		return [...this.#links].some(({target}) => target.localPort === port);
	}

	stop(): void {
		this.#isStopped = true;
		this.#server.close();
		for (const link of this.#links) {
			reset(link);
		}
	}

	#setListening(isListening: boolean): void {
		if (isListening === this.#server.listening || this.#isStopped) {
			return;
		}

		if (isListening) {
			this.#server.listen(this.#port, '127.0.0.1');
		} else {
			this.#server.close();
		}
	}

	#open(caller: net.Socket): void {
		caller.on('error', () => undefined);
		if (this.#fault === LinkFault.Reset || this.#isStopped) {
			resetSocket.resetSocket(caller);
			return;
		}

		const target = net.connect({...this.target, noDelay: true, allowHalfOpen: true});
		const link: Link = {caller, target, isSilent: false};
		this.#links.add(link);
		this.#forward(link, Direction.Request, caller, target);
		this.#forward(link, Direction.Response, target, caller);
	}

	#forward(link: Link, direction: Direction, from: net.Socket, to: net.Socket): void {
		let last = Promise.resolve();
		const pass = (action: () => void): void => {
			last = this.#passAfter(last, link, direction, action);
		};

		from.on('data', (data: Uint8Array) => {
			pass(() => {
				to.write(data);
			});
		});
		from.on('end', () => {
			pass(() => {
				to.end();
			});
		});
		from.on('error', () => {
			pass(() => {
				resetSocket.resetSocket(to);
			});
		});
		from.on('close', () => {
			pass(() => {
				to.destroySoon();
			});
			if (link.caller.destroyed && link.target.destroyed) {
				this.#links.delete(link);
			}
		});
	}

	/** Passes one event on after all earlier ones, the delay and the end of a fault that holds it. */
	async #passAfter(earlier: Promise<void>, link: Link, direction: Direction, action: () => void): Promise<void> {
		const dueAt = Date.now() + this.#delayMs;
		await earlier;
		await sleepModule.sleep(dueAt - Date.now());
		while (heldDirections[this.#fault] === direction && !this.#isStopped) {
			await sleepModule.sleep(holdPollMs); // eslint-disable-line no-await-in-loop -- Waits for the end of the fault.
		}

		if (!link.isSilent) {
			action();
		}
	}
}

function reset(link: Link): void {
	resetSocket.resetSocket(link.caller);
	resetSocket.resetSocket(link.target);
}
