/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'bench/results/**']},
	{
		prettier: 'compat',
		semicolon: true,
		rules: {
			// Customary short names (ctl, params, req) are wanted by the house style.
			'unicorn/prevent-abbreviations': 'off',
			// Namespace imports are the rule of the house style.
			'unicorn/import-style': 'off',
			'import-x/no-namespace': 'off',
			// Steps of a request run one after the other by design.
			'no-await-in-loop': 'off',
			// Lines that are folded by the formatter are not judged by length.
			'max-len': 'off',
			'capitalized-comments': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// External protocols name fields such as max_tokens and header names.
			'@typescript-eslint/naming-convention': 'off',
			// Abstract classes carry varying behaviour; not every override uses `this`.
			'class-methods-use-this': 'off',
			// Abstract members come first, since they are what an implementer must supply.
			'@typescript-eslint/member-ordering': 'off',
			// Attempts race each other; their promises are combined, not awaited in turn.
			'promise/prefer-await-to-then': 'off',
			'promise/prefer-catch': 'off',
			// A source without a slot has nothing to release.
			'@typescript-eslint/no-empty-function': 'off',
			'max-params': ['error', {max: 5}],
		},
	},
	{
		files: ['platform/bundle/**'],
		rules: {
			// The names of the platform's wire.
			camelcase: 'off',
			// Development dependencies of the workspace root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// The recorder is a program of its own; servers of the gateway keep it alive.
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		files: ['**/src/test/**/*.ts'],
		rules: {
			// Test tools are development dependencies of the workspace root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// The runner awaits its tests.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default config;
