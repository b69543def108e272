import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Version of the protocol between routers; a connection between different versions is refused. */
export const peerProtocolVersion = 1;

/** First message on a connection between routers, sent by both sides. */
export type Hello = {
	readonly type: peerMessageType.PeerMessageType.Hello;
	readonly protocol: number;
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly dataCentre: core.model.DataCentreId;
	/** IP address and port on which the sender accepts connections. */
	readonly host: string;
	readonly port: number;
	/** Whether this connection replaces an earlier one between the two routers that the sender considers dead. */
	readonly replaces: boolean;
};

/** Returns whether a decoded message is a well-formed hello. */
export function isHello(message: {readonly type: peerMessageType.PeerMessageType}): message is Hello {
	const hello = message as Partial<Record<keyof Hello, unknown>>;
	return typeof hello.protocol === 'number'
		&& typeof hello.vm === 'string'
		&& typeof hello.incarnation === 'string'
		&& typeof hello.dataCentre === 'string'
		&& typeof hello.host === 'string'
		&& typeof hello.port === 'number'
		&& typeof hello.replaces === 'boolean';
}

/** Keeps a connection alive while no other message is sent. */
export type Heartbeat = {
	readonly type: peerMessageType.PeerMessageType.Heartbeat;
};
