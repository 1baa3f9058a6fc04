/**
 * In-memory network between fleets in one process, with delay, loss, duplication,
 * reordering and cut links, for tests and benchmarks.
 */
import type * as clockService from '@hawthornfront/base/common/clock.js';
import * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as randomNumbers from '@hawthornfront/base/common/random.js';
import * as rpc from '@hawthornfront/protocol/common/rpc.js';
import type * as zod from 'zod';

/** Faults of all links. Addresses are `host:port`, the same for datagrams and calls. */
export type LinkFaults = {
	/** Share of lost datagrams, 0 to 1. */
	loss: number;
	/** Share of datagrams that arrive twice. */
	duplication: number;
	/** Random part of the delay; a value above the send interval reorders datagrams. */
	jitterMs: number;
	/** True when the link from one address to the other is cut in this direction. */
	isCut: (from: string, to: string) => boolean;
};

type Handler = (params: unknown) => unknown;

export type MemoryNetwork = {
	readonly faults: LinkFaults;
	/** Creates the endpoint of an address; it replaces an earlier one with the same address. */
	attach(address: string): Endpoint;
};

export type Endpoint = {
	socket: datagramSocket.DatagramSocket;
	rpcClient: rpc.RpcClient;
	rpcServer: rpc.RpcServer;
	/** A paused process answers no call and receives its datagrams when it resumes. */
	setPaused(isPaused: boolean): void;
	detach(): void;
};

type Node = {
	emitter: event.Emitter<datagramSocket.Datagram>;
	handlers: Map<string, Handler>;
	isPaused: boolean;
	/** Receive buffer of a paused process. */
	buffer: datagramSocket.Datagram[];
};

const maxBuffered = 64;

/** Creates a network without faults. `delayMs` is the one-way delay of a pair of addresses. */
export const createMemoryNetwork = (
	clock: clockService.Clock,
	random: randomNumbers.Random,
	delayMs: (from: string, to: string) => number,
): MemoryNetwork => {
	const nodes = new Map<string, Node>();
	const faults: LinkFaults = {loss: 0, duplication: 0, jitterMs: 0, isCut: () => false};

	const delayOf = (from: string, to: string) => delayMs(from, to) + random.next() * faults.jitterMs;

	const deliver = (from: string, to: string, bytes: Uint8Array) => {
		clock.setTimer(
			() => {
				const node = nodes.get(to);
				if (!node) {
					return;
				}

				if (!node.isPaused) {
					node.emitter.fire({peer: from, bytes});
				} else if (node.buffer.length < maxBuffered) {
					node.buffer.push({peer: from, bytes});
				}
			},
			delayOf(from, to),
		);
	};

	class MemorySocket extends datagramSocket.DatagramSocket {
		readonly #address: string;
		readonly #node: Node;

		constructor(address: string, node: Node) {
			super();
			this.#address = address;
			this.#node = node;
		}

		override get onDidReceive() {
			return this.#node.emitter.event;
		}

		override send(peer: string, bytes: Uint8Array): void {
			if (faults.isCut(this.#address, peer) || random.next() < faults.loss) {
				return;
			}

			deliver(this.#address, peer, bytes);
			if (random.next() < faults.duplication) {
				deliver(this.#address, peer, bytes);
			}
		}

		override dispose(): void {
			this.#node.emitter.dispose();
		}
	}

	class MemoryRpcClient extends rpc.RpcClient {
		readonly #address: string;

		constructor(address: string) {
			super();
			this.#address = address;
		}

		override async call<Params extends zod.ZodType, Result extends zod.ZodType>(
			peer: string,
			method: rpc.RpcMethod<Params, Result>,
			params: zod.infer<Params>,
			options: {timeoutMs?: number; signal?: AbortSignal} = {},
		): Promise<zod.infer<Result>> {
			await clock.sleep(delayOf(this.#address, peer), options.signal);
			const node = nodes.get(peer);
			const handler = node?.handlers.get(method.name);
			if (!handler || node!.isPaused || faults.isCut(this.#address, peer)) {
				throw new rpc.RpcError(method.name, peer, 'no connection', false);
			}

			const result = structuredClone(await handler(structuredClone(params)));
			await clock.sleep(delayOf(peer, this.#address), options.signal);
			if (faults.isCut(peer, this.#address)) {
				throw new rpc.RpcError(method.name, peer, 'answer lost', true);
			}

			return result as zod.infer<Result>;
		}
	}

	class MemoryRpcServer extends rpc.RpcServer {
		readonly #handlers: Map<string, Handler>;

		constructor(handlers: Map<string, Handler>) {
			super();
			this.#handlers = handlers;
		}

		override handle<Params extends zod.ZodType, Result extends zod.ZodType>(
			method: rpc.RpcMethod<Params, Result>,
			handler: (params: zod.infer<Params>) => Promise<zod.infer<Result>> | zod.infer<Result>,
		): void {
			this.#handlers.set(method.name, handler as Handler);
		}
	}

	return {
		faults,
		attach(address) {
			const node: Node = {
				emitter: event.createEmitter(),
				handlers: new Map(),
				isPaused: false,
				buffer: [],
			};
			nodes.set(address, node);
			return {
				socket: new MemorySocket(address, node),
				rpcClient: new MemoryRpcClient(address),
				rpcServer: new MemoryRpcServer(node.handlers),
				setPaused(isPaused) {
					node.isPaused = isPaused;
					for (const item of isPaused ? [] : node.buffer.splice(0)) {
						node.emitter.fire(item);
					}
				},
				detach() {
					if (nodes.get(address) === node) {
						nodes.delete(address);
					}
				},
			};
		},
	};
};
