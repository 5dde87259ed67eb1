package org.amaranthpick.server.caller;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.IllegalNameException;
import org.amaranthpick.core.name.ResourceKind;

/** Finds what a caller names among what its workspace may use. */
final class WorkspaceLookup {
    private WorkspaceLookup() {}

    /**
     * Finds one resource. Unknown, malformed and foreign names end in the same fault.
     *
     * @param workspace workspace of the caller; its fleet resolves the name
     * @param kind kind of the resource
     * @param name name as the caller gave it
     * @param allowed what the workspace may use
     * @param find finds a resource in the pinned configuration
     * @param otherwise fault if there is none
     * @return the resource
     * @throws FaultException if there is none that the workspace may use
     */
    static <T> T find(
            WorkspaceSpec workspace,
            ResourceKind kind,
            String name,
            List<Identity> allowed,
            Function<Identity, Optional<T>> find,
            RequestFault otherwise)
            throws FaultException {
        Identity id;
        try {
            id = Identity.resolve(workspace.id().fleet(), kind, name);
        } catch (IllegalNameException e) {
            throw new FaultException(otherwise);
        }
        if (!allowed.contains(id)) {
            throw new FaultException(otherwise);
        }
        return find.apply(id).orElseThrow(() -> new FaultException(otherwise));
    }
}
