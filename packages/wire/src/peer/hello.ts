import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Version of the protocol between routers; links between different versions are refused. */
export const peerProtocolVersion = 1;

/** First frame of a link, sent by both ends. */
export type Hello = {
	readonly type: peerMessageType.PeerMessageType.Hello;
	readonly protocol: number;
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly dataCentre: core.model.DataCentreId;
	/** IP number and port at which the sender accepts links. */
	readonly host: string;
	readonly port: number;
	/** Whether the sender has judged its earlier link to the receiver silent, so that this one takes its place. */
	readonly replaces: boolean;
};

/** Returns whether a decoded message has the shape of a hello. */
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

/** Keeps a link alive while nothing else is sent. */
export type Heartbeat = {
	readonly type: peerMessageType.PeerMessageType.Heartbeat;
};
