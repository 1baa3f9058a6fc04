/**
 * Configuration of one daemon. A lower revision is never applied, whatever its
 * source, and invalid content is refused as a whole. Parts are parsed in slices,
 * because parsing 14,000 teams at once blocks the event loop for 40 ms.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as snapshots from '@hawthornfront/catalogue/common/snapshot.js';

// 100 records take about 0.3 ms of processor time.
const recordsPerSlice = 100;
const maxHistory = 5;

/** A configuration offered by the store or by a peer. */
export type Offer = {
	revision: number;
	/** JSON text of the root. */
	root: string;
	/** `store` or the name of a peer, for the state dump. */
	source: string;
	/** Reads the text of one part. */
	readPart: (digest: string) => Promise<string>;
};

export type ApplyResult = 'applied' | 'stale' | 'refused';

/** The content itself is invalid, so a retry cannot succeed, unlike after a failed read. */
class InvalidContentError extends Error {}

type Part = {text: string; records: schema.CatalogueRecord[]};

export type Configuration = {
	readonly onDidChangeSnapshot: event.Event<snapshots.Snapshot>;
	snapshot(): snapshots.Snapshot;
	/** Text of the root in force; empty before the first configuration. */
	rootText(): string;
	digests(): string[];
	partText(digest: string): string | undefined;
	/** Highest revision that was applied or refused; a watch starts after it. */
	seenRevision(): number;
	isRefused(revision: number): boolean;
	/** Applies an offer. @throws when a part cannot be read or has the wrong digest. */
	apply(offer: Offer): Promise<ApplyResult>;
	dump(): unknown;
};

const describe = (error: unknown): string =>
	error instanceof Error ? error.message.slice(0, 500) : String(error);

/** Creates an empty configuration. */
export const createConfiguration = (
	time: clock.Clock,
	digestOf: (text: string) => string,
): Configuration => {
	const didChange = event.createEmitter<snapshots.Snapshot>();
	const parts = new Map<string, Part>();
	const refusals: Array<{revision: number; source: string; reason: string; atMs: number}> = [];
	const applied: Array<{revision: number; source: string; atMs: number}> = [];
	let snapshot = snapshots.emptySnapshot;
	let rootText = '';
	let refusedRevision = 0;

	const parseJson = (text: string, what: string): unknown => {
		try {
			return JSON.parse(text);
		} catch (error) {
			throw new InvalidContentError(`${what} is not JSON: ${describe(error)}`);
		}
	};

	const parseRecords = async (text: string, digest: string) => {
		const items = parseJson(text, `part ${digest}`);
		if (!Array.isArray(items)) {
			throw new InvalidContentError(`part ${digest} is not a list`);
		}

		const records: schema.CatalogueRecord[] = [];
		for (const [index, item] of (items as unknown[]).entries()) {
			if (index % recordsPerSlice === 0) {
				await time.sleep(0);
			}

			const result = schema.recordSchema.safeParse(item);
			if (!result.success) {
				throw new InvalidContentError(
					`part ${digest}, record ${index}: ${result.error.issues[0]?.message ?? 'invalid'}`,
				);
			}

			records.push(result.data);
		}

		return records;
	};

	const readPart = async (offer: Offer, digest: string): Promise<Part> => {
		const cached = parts.get(digest);
		if (cached) {
			return cached;
		}

		const text = await offer.readPart(digest);
		if (digestOf(text) !== digest) {
			throw new Error(`part ${digest} from ${offer.source} has another digest`);
		}

		return {text, records: await parseRecords(text, digest)};
	};

	const parseRoot = (offer: Offer): schema.Root => {
		const result = schema.rootSchema.safeParse(parseJson(offer.root, 'root'));
		if (!result.success) {
			throw new InvalidContentError(`root: ${result.error.issues[0]?.message ?? 'invalid'}`);
		}

		return result.data;
	};

	const build = async (offer: Offer): Promise<ApplyResult> => {
		const loaded = new Map<string, Part>();
		for (const {digest} of parseRoot(offer).parts) {
			loaded.set(digest, await readPart(offer, digest));
		}

		// An offer from another source may have been applied while parts were read.
		if (offer.revision <= snapshot.revision) {
			return 'stale';
		}

		const records = [...loaded.values()].flatMap((part) => part.records);
		parts.clear();
		for (const [digest, part] of loaded) {
			parts.set(digest, part);
		}

		rootText = offer.root;
		snapshot = snapshots.createSnapshot(offer.revision, records);
		applied.push({revision: offer.revision, source: offer.source, atMs: time.nowMs()});
		applied.splice(0, applied.length - maxHistory);
		didChange.fire(snapshot);
		return 'applied';
	};

	return {
		onDidChangeSnapshot: didChange.event,
		snapshot: () => snapshot,
		rootText: () => rootText,
		digests: () => [...parts.keys()],
		partText: (digest) => parts.get(digest)?.text,
		seenRevision: () => Math.max(snapshot.revision, refusedRevision),
		isRefused: (revision) => revision === refusedRevision,
		async apply(offer) {
			if (offer.revision <= snapshot.revision) {
				return 'stale';
			}

			try {
				return await build(offer);
			} catch (error) {
				if (!(error instanceof InvalidContentError)) {
					throw error;
				}

				refusedRevision = Math.max(refusedRevision, offer.revision);
				const {revision, source} = offer;
				refusals.push({revision, source, reason: describe(error), atMs: time.nowMs()});
				refusals.splice(0, refusals.length - maxHistory);
				return 'refused';
			}
		},
		dump: () => ({
			revision: snapshot.revision,
			entries: snapshot.entries.size,
			teams: snapshot.teams.size,
			upstreams: snapshot.upstreams.size,
			parts: parts.size,
			applied,
			refusals,
		}),
	};
};
