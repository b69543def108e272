import * as net from 'node:net';
import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {LogEvent: events} = core.log;

class FakeSink implements gateway.util.LogSink {
	readonly texts: string[] = [];
	isFull = false;

	write(text: string): boolean {
		if (!this.isFull) {
			this.texts.push(text);
		}

		return !this.isFull;
	}

	async flush(): Promise<void> {
		// Nothing is buffered.
	}

	count(event: core.log.LogEvent): number {
		return this.texts.filter(text => (JSON.parse(text) as core.log.LogLine).event === event).length;
	}
}

function createLog(): {log: gateway.util.BoundedEventLog; sink: FakeSink; pass: (ms: number) => void} {
	let now = 1_000_000;
	const sink = new FakeSink();
	return {
		log: new gateway.util.BoundedEventLog({
			vm: 'vm-1', sink, now: () => now, linesPerSecond: 10, reservedLines: 4,
		}),
		sink,
		pass(ms) {
			now += ms;
		},
	};
}

function writeRequest(log: gateway.util.EventLog): void {
	log.write(events.RequestEnded, {
		request: 'r', outcome: core.log.RequestOutcome.Answered, status: 200, tookMs: 1,
	});
}

function writeStateChange(log: gateway.util.EventLog): void {
	log.write(events.EndpointUnresponsive, {endpoint: 'e'});
}

describe('BoundedEventLog', () => {
	it('writes one JSON object per line, with the time, the VM and the event', () => {
		const {log, sink} = createLog();
		writeStateChange(log);
		expect(sink.texts).to.deep.equal(['{"at":1000000,"vm":"vm-1","event":"endpoint_unresponsive","endpoint":"e"}\n']);
	});

	// Guards against losing state changes when a burst of requests coincides with endpoints that stop responding.
	it('enforces the limit in a burst of requests, reserves lines for state changes, and reports the dropped lines', () => {
		const {log, sink, pass} = createLog();
		for (let count = 0; count < 100; count++) {
			writeRequest(log);
		}

		for (let count = 0; count < 3; count++) {
			writeStateChange(log);
		}

		expect(sink.count(events.RequestEnded)).to.equal(6);
		expect(sink.count(events.EndpointUnresponsive)).to.equal(3);
		expect(sink.texts).to.have.lengthOf(10);
		expect(log.droppedLines).to.equal(94);
		pass(1000);
		writeRequest(log);
		const reported = sink.texts.map(text => JSON.parse(text) as {readonly event: core.log.LogEvent; readonly lines?: number})
			.filter(line => line.event === events.LinesDropped);
		expect(reported.reduce((sum, line) => sum + (line.lines ?? 0), 0)).to.equal(94);
	});

	it('drops and counts lines that a full sink does not accept', () => {
		const {log, sink, pass} = createLog();
		sink.isFull = true;
		writeRequest(log);
		writeStateChange(log);
		expect(log.droppedLines).to.equal(2);
		sink.isFull = false;
		pass(1000);
		writeStateChange(log);
		expect(sink.count(events.LinesDropped)).to.equal(1);
	});
});

describe('FileDescriptorSink', () => {
	// Guards against blocking or unlimited memory use when standard output is a pipe whose reader has stopped.
	it('does not wait for a stopped reader and buffers at most the maximum', async () => {
		const server = net.createServer({pauseOnConnect: true});
		const client = await connect(server);
		after(() => {
			client.destroy();
			server.close();
		});
		// Node.js has no public API for the file descriptor of a socket.
		const {fd} = (client as unknown as {readonly _handle: {readonly fd: number}})._handle;
		const sink = new gateway.util.FileDescriptorSink(fd);
		const text = `${'x'.repeat(9999)}\n`;
		let accepted = 0;
		let isFull = false;
		for (let count = 0; count < 2000 && !isFull; count++) {
			isFull = !sink.write(text);
			accepted += isFull ? 0 : 1;
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- Lets writes end in between.
				setImmediate(resolve);
			});
		}

		expect(isFull).to.equal(true);
		expect(accepted).to.be.greaterThan(0);
	});
});

async function connect(server: net.Server): Promise<net.Socket> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const client = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
	await new Promise<void>(resolve => {
		client.once('connect', resolve);
	});
	return client;
}
