/** The emulator of the choice of workers. */
package applespindle.testfleet.dispatch;
