package applespindle.adapters;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import java.util.function.Consumer;

/** Reads the list of workers that another system keeps. On the HTTP thread. */
public interface WorkerListSource {
  /**
   * An empty token asks for the first page. A refusal for calling too often is ApiError.Overloaded.
   */
  void read(String pageToken, Consumer<WorkerListPage> whenRead, Consumer<ApiError> whenFaulty);
}
