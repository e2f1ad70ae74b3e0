import type {AgentMessage, OwnerMessage} from '@chervilbeam/coordination';
import type {Link} from '../links/link.js';

/** Link of an owner to an agent. */
export type AgentLink = Link<AgentMessage, OwnerMessage>;

/** The links of an owner to its agents; each agent has one, the latest. */
export class AgentLinks {
  private readonly links = new Map<string, AgentLink>();

  /** Adds the link of an agent and closes an older one. */
  add(agent: string, link: AgentLink): void {
    const previousLink = this.links.get(agent);
    this.links.set(agent, link);
    previousLink?.destroy('replaced');
  }

  /** Whether a link is the latest of its agent. */
  isCurrent(agent: string, link: AgentLink): boolean {
    return this.links.get(agent) === link;
  }

  /** Removes the link of an agent; returns false when a newer link has replaced it. */
  remove(agent: string, link: AgentLink): boolean {
    return this.isCurrent(agent, link) && this.links.delete(agent);
  }

  /** Sends a message to an agent; ignored when the agent is not connected. */
  send(agent: string, message: OwnerMessage): void {
    this.links.get(agent)?.send(message);
  }

  /** Sends a message to all agents. */
  broadcast(message: OwnerMessage): void {
    for (const link of this.links.values()) link.send(message);
  }

  /** Closes all links after a last message, which names the address of the next owner if it is known. */
  redirect(address: string | undefined): void {
    for (const link of this.links.values()) {
      link.send({kind: 'elsewhere', entries: [], ...(address !== undefined && {address})});
      link.end();
    }
    this.links.clear();
  }
}
