/** Prefix cache of a runner: blocks of prompts in limited memory, least recently used first out. */

export type CacheChange = {kind: 'stored' | 'evicted'; block: number};

export type PrefixCache = {
	/** Leading blocks that are cached; they become the most recently used. */
	match(blocks: readonly number[]): number;
	/** Stores the blocks of a prompt. */
	store(blocks: readonly number[]): void;
	clear(): void;
	readonly size: number;
};

/** Creates an empty cache. `onChange` hears of every block stored or evicted. */
export const createPrefixCache = (
	capacityBlocks: number,
	onChange: (change: CacheChange) => void,
): PrefixCache => {
	// A map iterates in order of insertion; using a block inserts it anew.
	const blocksByUse = new Map<number, true>();
	const evictOverflow = () => {
		for (const block of blocksByUse.keys()) {
			if (blocksByUse.size <= capacityBlocks) {
				return;
			}

			blocksByUse.delete(block);
			onChange({kind: 'evicted', block});
		}
	};

	return {
		get size() {
			return blocksByUse.size;
		},
		match(blocks) {
			let matched = 0;
			for (const block of blocks) {
				if (!blocksByUse.delete(block)) {
					break;
				}

				blocksByUse.set(block, true);
				matched++;
			}

			return matched;
		},
		store(blocks) {
			for (const block of blocks) {
				const wasCached = blocksByUse.delete(block);
				blocksByUse.set(block, true);
				if (!wasCached) {
					onChange({kind: 'stored', block});
				}
			}

			evictOverflow();
		},
		clear() {
			blocksByUse.clear();
		},
	};
};
