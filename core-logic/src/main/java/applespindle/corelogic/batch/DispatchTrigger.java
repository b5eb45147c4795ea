package applespindle.corelogic.batch;

import applespindle.corelogic.worker.WorkerState;

/** Starts further items after a run has made capacity free. */
interface DispatchTrigger {
  /** Dispatches to all workers. */
  void dispatch();

  void dispatch(WorkerState worker);
}
