/**
 * Puts links with delay, loss, cuts and limited rate between daemons that run
 * in one process, by wrapping their HTTP clients and datagram sockets.
 */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as randomModule from '@hawthornfront/base/common/random.js';
import * as faultyDatagramSocket from './faulty-datagram-socket.js';
import * as faultyHttpClient from './faulty-http-client.js';
import * as links from './links.js';

export type CutDirection = 'both' | 'one-way';

export type FaultyNetwork = {
	/** Says in which place the process at `address` (`host:port`) is. */
	addAddress(address: string, place: string): void;
	/** Place of an address; undefined when it was never added, then no link applies. */
	placeOf(address: string): string | undefined;
	/** Link from one place to another; within a place, `from` equals `to`. */
	link(from: string, to: string): links.Link;
	/** Changes both directions between two places. */
	setLink(a: string, b: string, settings: Partial<links.LinkSettings>): void;
	/** Cuts `from` to `to`, and by default back. Bodies in progress break. */
	cut(from: string, to: string, direction?: CutDirection): void;
	heal(from: string, to: string, direction?: CutDirection): void;
	/** Cuts a place from every other place, now and for links made later. */
	isolate(place: string): void;
	/** Heals every cut. */
	healAll(): void;
	/** A client that runs in `place`. */
	wrapHttpClient(client: httpClient.HttpClient, place: string): httpClient.HttpClient;
	/** A socket that runs in `place`. */
	wrapDatagramSocket(
		socket: datagramSocket.DatagramSocket,
		place: string,
	): datagramSocket.DatagramSocket;
};

/** Creates a network without faults. */
export const createFaultyNetwork = (options: {
	clock: clockModule.Clock;
	random: randomModule.Random;
}): FaultyNetwork => {
	const {clock, random} = options;
	const places = new Map<string, string>();
	const byName = new Map<string, links.Link>();
	const isolated = new Set<string>();

	const link = (from: string, to: string): links.Link => {
		const name = JSON.stringify([from, to]);
		let found = byName.get(name);
		if (!found) {
			found = links.createLink(clock, random.fork());
			byName.set(name, found);
			if (from !== to && (isolated.has(from) || isolated.has(to))) {
				found.cut();
			}
		}

		return found;
	};

	const directions = (from: string, to: string, direction: CutDirection = 'both') =>
		direction === 'both' ? [link(from, to), link(to, from)] : [link(from, to)];

	const linksBetween = (place: string, peer: string) => {
		const peerPlace = places.get(peer) ?? place;
		return {there: link(place, peerPlace), back: link(peerPlace, place)};
	};

	return {
		addAddress(address, place) {
			places.set(address, place);
		},
		placeOf: (address) => places.get(address),
		link,
		setLink(a, b, settings) {
			Object.assign(link(a, b), settings);
			Object.assign(link(b, a), settings);
		},
		cut(from, to, direction) {
			for (const item of directions(from, to, direction)) {
				item.cut();
			}
		},
		heal(from, to, direction) {
			for (const item of directions(from, to, direction)) {
				item.heal();
			}
		},
		isolate(place) {
			isolated.add(place);
			for (const [name, item] of byName) {
				const [from, to] = JSON.parse(name) as [string, string];
				if (from !== to && (from === place || to === place)) {
					item.cut();
				}
			}
		},
		healAll() {
			isolated.clear();
			for (const item of byName.values()) {
				item.heal();
			}
		},
		wrapHttpClient: (client, place) =>
			new faultyHttpClient.FaultyHttpClient(clock, client, (peer) => linksBetween(place, peer)),
		wrapDatagramSocket: (socket, place) =>
			new faultyDatagramSocket.FaultyDatagramSocket(
				clock,
				socket,
				(peer) => linksBetween(place, peer).there,
			),
	};
};
