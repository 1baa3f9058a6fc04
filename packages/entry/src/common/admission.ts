/**
 * Admission checks on the headers of a request: loops, the catalogue entry and the
 * region that the data is bound to. The body is read only after these checks, so that
 * bound data never enters a wrong region.
 */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import type * as callerRequest from './caller-request.js';
import * as requestHeaders from './request-headers.js';

const refuse = (error: gatewayError.GatewayError): never => {
	throw new gatewayError.GatewayException(error);
};

const base = {step: 'before-admission', peer: '', outcome: 'not-run'} as const;

/** @throws GatewayException `loop-detected` when the request has passed this deployment before. */
export const checkLoop = (
	request: callerRequest.CallerRequest,
	cdnLoopIdentifier: string,
): void => {
	const gateways = requestHeaders.parseCdnLoop(request.headers[requestHeaders.cdnLoopHeader]);
	const crossings = requestHeaders.parseCrossings(request.headers[requestHeaders.crossingsHeader]);
	if (!request.isForwarded && gateways.includes(cdnLoopIdentifier)) {
		const detail = `the request has passed ${cdnLoopIdentifier} before`;
		refuse({...base, kind: 'loop-detected', detail});
	}

	if (crossings > requestHeaders.maxCrossings) {
		const detail = `the request has crossed regions ${crossings} times`;
		refuse({...base, kind: 'loop-detected', detail});
	}
};

/** Finds an entry that the team can use. @throws GatewayException `not-found`. */
export const findEntry = (
	current: snapshot.Snapshot,
	team: schema.Team,
	name: string,
): schema.Entry => {
	const entry = current.entries.get(name);
	if (entry?.owner !== team.owner) {
		const detail = 'the catalogue has no such entry for this team';
		return refuse({...base, kind: 'not-found', detail});
	}

	return entry;
};

/** Returns the addresses of the entry VMs of a region. */
export type EntryVmLookup = (region: string) => string[];

/** @throws GatewayException `wrong-region` when the data is bound to another region. */
export const checkHomeRegion = (
	homeRegion: string | undefined,
	localRegion: string,
	entryVmsOf: EntryVmLookup,
): void => {
	if (homeRegion !== undefined && homeRegion !== localRegion) {
		refuse({
			...base,
			kind: 'wrong-region',
			region: homeRegion,
			entries: entryVmsOf(homeRegion),
			detail: `the data is bound to region ${homeRegion}; use an entry VM there`,
		});
	}
};

/**
 * Refuses a model request whose headers do not name the entry if the team has an entry
 * that is bound to another region: reading the body could bring bound data into this
 * region.
 */
export const checkBodyIsReadable = (
	current: snapshot.Snapshot,
	team: schema.Team,
	localRegion: string,
	entryVmsOf: EntryVmLookup,
): void => {
	checkHomeRegion(team.homeRegion, localRegion, entryVmsOf);
	for (const entry of snapshot.entriesOf(current, team.owner)) {
		const homeRegion = snapshot.homeRegionOf(team, entry);
		const isBoundElsewhere = homeRegion !== undefined && homeRegion !== localRegion;
		if (isBoundElsewhere) {
			refuse({
				...base,
				kind: 'bad-request',
				detail:
					'this team has catalogue entries that are bound to another region; ' +
					`name the entry in the header "${requestHeaders.entryHeader}"`,
			});
		}
	}
};
