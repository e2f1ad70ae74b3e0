import gts from 'gts';
import tseslint from 'typescript-eslint';

/** Modules that the decision code must not import: modules for I/O, and the other packages. */
const restrictedModules = [
  'node:*',
  'net',
  'http',
  'fs',
  'undici',
  'h3',
  'cbor-x',
  'bunyan',
  'commander',
  'hdr-histogram-js',
  '@chervilbeam/*',
];

export default [
  {ignores: ['**/dist/**', 'target/**', 'journal/**', '**/output/**', 'node_modules/**']},
  ...gts,
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: null,
        projectService: {allowDefaultProject: []},
        tsconfigRootDir: import.meta.dirname,
      },
    },
  },
  {
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/no-explicit-any': 'error',
      'max-lines': ['error', {max: 400}],
    },
  },
  {
    // Only the adapters in platform/ know the protocols and names of the platform.
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['@chervilbeam/platform', '**/platform/src/**'],
              message: 'Code in packages/ does not import the adapters in platform/.',
            },
          ],
        },
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'Literal[value=/x-chervilbeam-(duty|fencing|expected)|kv-(key|txn|range)/]',
          message: 'Names of the platform are used only in platform/.',
        },
      ],
    },
  },
  {
    // The decision code does no I/O. It gets the time, and the seeds of its random choices, from its caller.
    files: ['packages/coordination/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: restrictedModules,
              message: 'The decision code does no I/O and imports no other package.',
            },
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'process',
        'setTimeout',
        'setInterval',
        'fetch',
        'performance',
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now'},
        {object: 'Math', property: 'random'},
      ],
    },
  },
];
