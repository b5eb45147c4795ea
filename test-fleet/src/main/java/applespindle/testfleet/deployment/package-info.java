/** The deployments that are tested, and emulated workers that listen on sockets. */
package applespindle.testfleet.deployment;
