/** Child process that ends in one of several ways; the test reads its standard output. */
import * as fs from 'node:fs';
// A namespace import lacks the methods of EventEmitter and makes exitCode read-only.
import process from 'node:process';
import * as processEnd from '../node/process-end.js';

processEnd.reportProcessEnd((end) => {
	fs.writeSync(1, `${JSON.stringify(end)}\n`);
});

const mode = process.argv[2] ?? 'exit';

switch (mode) {
	case 'throw': {
		setImmediate(() => {
			throw new Error('broken timer');
		});
		break;
	}

	case 'reject': {
		void Promise.reject(new Error('broken promise'));
		break;
	}

	case 'reject-without-error': {
		// eslint-disable-next-line @typescript-eslint/prefer-promise-reject-errors -- any value can be a reason
		void Promise.reject(Object.create(null));
		break;
	}

	default: {
		process.exitCode = 3;
	}
}
