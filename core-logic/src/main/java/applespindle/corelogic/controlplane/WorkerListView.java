package applespindle.corelogic.controlplane;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The workers as a control plane process knows them.
 *
 * @param workers the registrations as they were written, without those of workers that are gone
 * @param version the version of the list that was sent last; 0 before the first
 * @param ageMs the age of the process's metadata in milliseconds
 */
public record WorkerListView(List<JsonNode> workers, long version, long ageMs) {}
