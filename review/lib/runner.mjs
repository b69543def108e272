/* eslint-disable camelcase -- Field names of the protocol. */
/* eslint-disable no-await-in-loop -- Steps follow one another. */
/* eslint-disable no-void -- The work goes on beside this. */
// A stand-in of a runner: of a plain service, such as a booking application, or of a language model, which streams (PROTOCOL.md, "Runners").
import * as http from 'node:http';
import * as net from './net.mjs';

const defaultSlots = 64;
const defaultQueue = 192;
const msPerSecond = 1000;
const restartMs = 3000;

export class Runner {
	/** Requests that the runner ran, in order. */
	runs = [];
	/** Times at which it turned a request away for want of room. */
	rejections = [];
	/** Falls, each with the number of requests that it was running. */
	falls = [];
	/** Chooses the status with which a request is answered that has run; returns undefined for a success. */
	chooseFailure = () => undefined;
	/** Returns whether an answer has no length and ends with its connection. */
	isUnframed = () => false;
	/** Returns whether an answer of a plain service has no length, and is broken off by a reset of its connection. */
	isBrokenOff = () => false;
	/** Text of the answers of a plain service. */
	createAnswer = run => JSON.stringify({ran: run.id});
	/** Requests that it can turn away in a second; absent while it is not brittle. */
	brittle;
	#bornAt = Date.now();
	#running = new Set();
	#waiting = [];
	#server;
	#port = 0;
	#isDown = false;

	/** @param options - `model` and `events` belong together: each stream has so many events, one after each `workMs`. */
	constructor({id, service, zone, workMs, model, events, slots = defaultSlots, queue = defaultQueue}) {
		Object.assign(this, {
			id, service, zone, workMs, model, events, slots, queue,
		});
	}

	async start(host) {
		this.host = host;
		await this.#listen();
	}

	stop() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** The entry that the runner writes into the store; absent while it is down. */
	createEntry(sequence) {
		const {service, address, zone, slots} = this;
		const entry = {
			service, address, zone, version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, sequence, born: this.#bornAt, ...(this.model !== undefined && {models: this.#listModels()}),
		};
		return this.#isDown ? undefined : entry;
	}

	async #listen() {
		this.#server = http.createServer((req, res) => {
			void this.#handle(req, res);
		});
		this.#server.keepAliveTimeout = 10_000;
		this.address = await net.listen(this.#server, this.host, this.#port);
		this.#port = Number(this.address.split(':')[1]);
		this.#isDown = false;
	}

	async #handle(req, res) {
		const id = req.headers['bluebellmast-request-id'];
		const body = await net.readBody(req);
		if (body === undefined) {
			return;
		}

		const expected = req.headers['bluebellmast-expected-instance'] ?? this.id;
		if (expected !== this.id) {
			this.#answer(res, 421, {'Bluebellmast-Instance-Id': this.id});
		} else if (req.url === '/v1/report') {
			this.#answer(res, 200, {}, JSON.stringify({
				stage: 'combined', models: this.#listModels(), busy: false, sequence: 0, queue_length: this.#waiting.length, active_requests: this.#running.size, born: this.#bornAt,
			}));
		} else if (req.url === '/health') {
			this.#answer(res, 200, {'Bluebellmast-Instance-Id': this.id});
		} else if (id === undefined) {
			this.#answer(res, 400, {'Bluebellmast-Not-Executed': '1'});
		} else {
			await this.#admit({
				id, path: req.url, bytes: body.length, from: req.socket.remoteAddress,
			}, res);
		}
	}

	async #admit(request, res) {
		if (this.#running.size >= this.slots) {
			if (this.#waiting.length >= this.queue) {
				this.#reject(request, res);
				return;
			}

			await new Promise(resolve => {
				this.#waiting.push({resolve, res});
			});
		}

		if (!res.destroyed) {
			await this.#run(request, res);
		}

		this.#startNext();
	}

	/** Starts the first waiting request whose connection is open. */
	#startNext() {
		while (this.#running.size < this.slots && this.#waiting.length > 0) {
			const next = this.#waiting.shift();
			if (!next.res.destroyed) {
				next.resolve();
				return;
			}
		}
	}

	async #run(request, res) {
		const run = {...request, runner: this.id, at: Date.now()};
		this.runs.push(run);
		this.#running.add(run);
		if (this.model !== undefined) {
			await this.#stream(run, res);
			this.#running.delete(run);
			return;
		}

		await net.sleep(this.workMs);
		this.#running.delete(run);
		if (res.destroyed) {
			return;
		}

		run.status = this.chooseFailure(run) ?? 200;
		run.answer = this.createAnswer(run);
		run.isUnframed = this.isUnframed(run);
		run.isBrokenOff = this.isBrokenOff(run);
		const headers = {'Bluebellmast-Request-Id': run.id, 'Bluebellmast-Response-Seal': `seal.${this.id}.${run.id}`};
		if (run.isUnframed || run.isBrokenOff) {
			sendUnframed(res.socket, headers, run);
		} else {
			this.#answer(res, run.status, headers, run.answer);
		}
	}

	async #stream(run, res) {
		const {socket} = res;
		run.isUnframed = this.isUnframed(run);
		const headers = {
			'Content-Type': 'text/event-stream', 'Bluebellmast-Request-Id': run.id, 'Bluebellmast-Response-Seal': `seal.${this.id}.${run.id}`, 'Bluebellmast-Weight-Versions': '1',
		};
		if (run.isUnframed) {
			socket.write(createUnframedHead(headers));
		} else {
			res.writeHead(200, headers);
		}

		const target = run.isUnframed ? socket : res;
		for (let number = 1; number <= this.events && !socket.destroyed; number++) {
			target.write(`id: ${number}\ndata: token ${number} of ${run.id}\n\n`);
			await net.sleep(this.workMs);
		}

		run.status = socket.destroyed ? 'cut' : 200;
		target.end();
	}

	#listModels() {
		return [{name: this.model, version: 1, adapters: []}];
	}

	#reject({id, from}, res) {
		const now = Date.now();
		this.rejections.push({at: now, from});
		this.#answer(res, 503, {'Bluebellmast-Request-Id': id, 'Bluebellmast-Not-Executed': '1'});
		const inSecond = this.rejections.filter(({at}) => now - at < msPerSecond).length;
		if (this.brittle !== undefined && inSecond > this.brittle && !this.#isDown) {
			void this.#fall(now, inSecond);
		}
	}

	async #fall(at, rejectedInSecond) {
		this.falls.push({at, rejectedInSecond, lost: [...this.#running].map(({id}) => id)});
		this.#isDown = true;
		this.#server.close();
		this.#server.closeAllConnections();
		this.#running.clear();
		this.#waiting = [];
		await net.sleep(restartMs);
		this.#bornAt = Date.now();
		this.rejections = [];
		await this.#listen();
		this.onStarted?.();
	}

	#answer(res, status, headers, value = '{}') {
		net.send(res, status, value, {
			...headers,
			'Bluebellmast-Server-Load': `${this.#running.size},${this.#waiting.length},${this.slots}`,
			...(this.brittle !== undefined && {'Server-Brittle': String(this.brittle)}),
		});
	}
}

/** Returns a head that states no length, so that the answer ends with its connection. */
function createUnframedHead(headers) {
	const lines = Object.entries({...headers, Connection: 'close'}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`;
}

/** Sends an answer without a length as a whole, or its first half and a reset. */
function sendUnframed(socket, headers, {answer, isBrokenOff}) {
	if (isBrokenOff) {
		socket.write(`${createUnframedHead(headers)}${answer.slice(0, answer.length / 2)}`);
		socket.resetAndDestroy();
	} else {
		socket.end(`${createUnframedHead(headers)}${answer}`);
	}
}
