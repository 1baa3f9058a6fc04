/** Writes the catalogue of the demonstration as an operator would, by compare-and-swap. */
import * as crypto from 'node:crypto';
import type * as random from '@hawthornfront/base/common/random.js';
import * as recordEdit from '@hawthornfront/catalogue/common/record-edit.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as catalogueStore from '@hawthornfront/catalogue/node/catalogue-store.js';
import * as httpKeyValueStore from '@hawthornfront/platform/node/http-key-value-store.js';
import type * as deployment from './deployment.js';

/** Applies the difference between two catalogues and returns the revision. @throws Error when refused. */
export const editCatalogue = async (
	system: deployment.Deployment,
	numbers: random.Random,
	before: schema.CatalogueRecord[],
	after: schema.CatalogueRecord[],
): Promise<number> => {
	const client = system.callerClient('lombardia');
	const result = await catalogueStore.applyChanges(
		{
			store: new httpKeyValueStore.HttpKeyValueStore(client, system.store.address),
			clock: system.clock,
			random: numbers,
			author: 'demo',
			operationId: crypto.randomUUID(),
		},
		recordEdit.diffRecords(before, after),
	);
	if (result.kind !== 'applied') {
		throw new Error(`the catalogue edit was not applied: ${JSON.stringify(result)}`);
	}

	return result.revision;
};
