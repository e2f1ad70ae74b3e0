export * from './control-client.js';
export * from './operator-backend.js';
export * from './operator-routes.js';
export * from './operator-service.js';
