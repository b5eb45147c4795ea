/** The simulated fleet with its clients and operators, who write down what they send and see. */
package applespindle.testfleet.clients;
